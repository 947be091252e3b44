//! The images that a machine holds or fetches, and which of them it drops.

use super::Machine;
use crate::ids::ImageIx;

impl Machine {
    /// Whether the image is there or is being fetched.
    pub fn holds_image(&self, image: ImageIx) -> bool {
        self.images.iter().any(|&(held, _)| held == image)
    }

    /// Notes that an image is there, dropping the least recently used ones.
    pub fn touch_image(&mut self, image: ImageIx, gb: f64, cache_gb: f64) {
        self.images.retain(|&(held, _)| held != image);
        self.images.push((image, gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }
}

#[cfg(test)]
mod tests;
