//! What is known: durable records on the state service, and ledgers in memory.

pub mod pages;
pub mod records;
