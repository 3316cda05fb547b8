//! Load: drives engines directly and through larkwick, compares routing policies, and measures each stream.

pub mod arrivals;
pub mod compare;
pub mod overhead;
pub mod plot;
pub mod stream;
pub mod table;
