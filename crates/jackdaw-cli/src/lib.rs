//! Operator's command.
