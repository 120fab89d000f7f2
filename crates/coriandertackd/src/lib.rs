//! Entry.
