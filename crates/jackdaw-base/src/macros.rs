//! Macros that apply the standard derives of the workspace.

/// Declares a data type that derives `Debug`, `Clone`, `PartialEq` and the `serde` traits.
///
/// A leading `copy` adds `Copy`, `Eq`, `Hash`, `PartialOrd` and `Ord`, for identifiers and other
/// small types that serve as keys.
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
