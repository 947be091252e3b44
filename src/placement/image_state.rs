//! Whether a machine has an image.

use crate::ids::ImageIx;
use crate::workers::Machine;

/// Whether a machine has an image. The better state is the greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ImageState {
    /// A task that needs the image has to fetch it.
    Missing,
    /// The image is in the machine's cache, or is being fetched.
    Cached,
}

impl ImageState {
    /// The state of an image on a machine.
    pub fn new(machine: &Machine, image: ImageIx) -> ImageState {
        if machine.holds_image(image) {
            ImageState::Cached
        } else {
            ImageState::Missing
        }
    }
}
