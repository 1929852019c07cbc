//! What the controllers keep on the state store.
//!
//! Owns the stored form only: keys, values and their encoding, byte for byte. It holds no state in memory, does
//! no I/O and takes no decision. What a leader remembers about stored pages is in `coordination::persistence`.

pub mod records;
