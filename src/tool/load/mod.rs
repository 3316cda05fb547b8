//! Load generator: sends streams to engines directly or through larkwick, measures each stream, and
//! compares routing policies.

pub mod arrivals;
pub mod compare;
pub mod overhead;
pub mod plot;
pub mod stream;
pub mod table;
