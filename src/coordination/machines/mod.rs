//! Machines: the state of each machine, the machine types, and the images in the machines' caches.
//!
//! The machine table owns the machines and the index of those with free capacity. The task attempts on a
//! machine change through the attempt ledger only; the autoscaler decides how many machines there are.

mod image_cache;
pub mod images;
pub mod machine;
mod reachability;
mod reservation;
pub mod restarts;
pub mod table;
mod type_fit;

pub use image_cache::{CachedImage, ImageCache};
