//! Fleet in one process under load, measured from the stand-ins.
