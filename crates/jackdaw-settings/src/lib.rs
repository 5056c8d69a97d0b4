//! INI settings of every process, checked with file, section, key and reason.
