//! Records searches that found no machine, so that they are not repeated within a round.

use crate::resources::Shape;

/// Shapes for which a search found no machine.
///
/// Only the least demanding shapes are kept, and they cover all more demanding ones. Jobs of
/// one class differ in size, and without this each size would be searched for again.
#[derive(Debug, Default)]
pub struct UnplaceableShapes {
    shapes: Vec<Shape>,
}

impl UnplaceableShapes {
    /// Whether a shape that asks for no more than this one has been recorded as unplaceable.
    pub fn contains(&self, shape: &Shape) -> bool {
        self.shapes.iter().any(|known| shape.needs_at_least(known))
    }

    /// Adds a shape and drops the recorded shapes that ask for at least as much.
    pub fn insert(&mut self, shape: &Shape) {
        self.shapes.retain(|known| !known.needs_at_least(shape));
        self.shapes.push(shape.clone());
    }
}
