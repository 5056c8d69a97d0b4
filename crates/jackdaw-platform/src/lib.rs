//! Client and port of the platform's object API.
