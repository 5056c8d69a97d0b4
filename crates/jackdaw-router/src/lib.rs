//! Router: takes callers' requests, has them granted by agents, streams answers back.
