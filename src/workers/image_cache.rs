//! Model of the image cache of a machine: which images it holds or fetches, and which it
//! evicts.

use super::Machine;
use crate::ids::ImageIx;

impl Machine {
    /// Whether the machine holds the image or is fetching it.
    pub fn holds_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|&(held, _)| held == image)
    }

    /// Records the use of an image of `gb` gigabytes. Evicts the least recently used images that
    /// exceed `cache_gb`, but never the image in use.
    pub fn touch_image(&mut self, image: ImageIx, gb: f64, cache_gb: f64) {
        self.images.retain(|&(held, _)| held != image);
        self.images.push((image, gb));
        let mut total_gb: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            total_gb -= self.images.remove(0).1;
        }
    }
}

#[cfg(test)]
mod tests;
