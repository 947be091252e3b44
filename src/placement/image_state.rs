//! The state of an image on a machine.

use crate::ids::ImageIx;
use crate::workers::Machine;

/// The state of an image on a machine. The state that is better for placement is the greater
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ImageState {
    /// The machine would have to fetch the image before it could run a task that needs it.
    Missing,
    /// The image is in the machine's cache or is being fetched.
    Cached,
}

impl ImageState {
    /// Returns the state of an image on a machine.
    pub fn new(machine: &Machine, image: ImageIx) -> ImageState {
        if machine.holds_image(image) {
            ImageState::Cached
        } else {
            ImageState::Missing
        }
    }
}
