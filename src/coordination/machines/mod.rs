//! Machines: what is known of each, what the types of machine offer, and the images in their caches.
//!
//! The machine table owns the machines and the index of those with free capacity. What is on a machine changes
//! through the ledger of task attempts only; how many machines there are is the autoscaler's.

mod image_cache;
pub mod images;
pub mod machine;
mod reachability;
mod reservation;
pub mod table;
mod type_fit;

pub use image_cache::{CachedImage, ImageCache};
