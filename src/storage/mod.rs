//! Records that the controllers keep in the state store.
//!
//! Defines the stored form only: keys, values and their encoding, byte for byte. Holds no state in memory, does no
//! I/O and makes no decisions. What a leader knows about the stored pages is in `coordination::persistence`.

pub mod records;
