//! Derive sets used throughout the workspace.

/// Declares a plain value: comparable, cloneable, printable and serialisable.
///
/// A leading `copy` adds `Copy`, `Hash`, `Eq` and the orderings, for identifiers and other
/// small keys.
#[macro_export]
macro_rules! plain_data {
    (copy $(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($rest:tt)*) => {
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord,
            serde::Serialize, serde::Deserialize,
        )]
        $(#[$meta])*
        $vis $kind $name $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($rest:tt)*) => {
        #[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
        $(#[$meta])*
        $vis $kind $name $($rest)*
    };
}
