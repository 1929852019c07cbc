//! Machines: what is known of each, and the images in their caches.

pub mod images;
pub mod machine;
mod reachability;
mod reservation;
pub mod table;
mod type_fit;
