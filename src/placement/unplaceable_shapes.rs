//! Memory of searches that found nothing, so that they are not repeated within a round.

use crate::resources::Shape;

/// Shapes for which a search found no machine.
///
/// Only the least demanding are kept: jobs of one class differ in size, and each size
/// would else be searched for again.
#[derive(Debug, Default)]
pub struct UnplaceableShapes {
    shapes: Vec<Shape>,
}

impl UnplaceableShapes {
    /// Whether a shape that asks for no more than this one was found to be unplaceable.
    pub fn contains(&self, shape: &Shape) -> bool {
        self.shapes.iter().any(|known| shape.needs_at_least(known))
    }

    /// Adds a shape and drops those that ask for at least as much.
    pub fn insert(&mut self, shape: &Shape) {
        self.shapes.retain(|known| !known.needs_at_least(shape));
        self.shapes.push(shape.clone());
    }
}
