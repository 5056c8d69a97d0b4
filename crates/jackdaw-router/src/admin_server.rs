//! Administration server of a router.
