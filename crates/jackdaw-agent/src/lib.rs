//! Agent: the only way to the target beside it.
