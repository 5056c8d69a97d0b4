//! Identifier of a target.

use jackdaw_base::plain_data;

plain_data! {
    copy
    /// Identifies one instance of a target; a restarted target gets another identifier.
    pub struct TargetId(pub u64);
}
