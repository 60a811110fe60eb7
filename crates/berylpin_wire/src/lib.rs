//! Wire formats: frames between daemons, and the HTTP bodies and headers for callers, operators,
//! upstreams and the platform of berylpin's own interface.

pub mod admin;
pub mod caller;
pub mod execute;
pub mod frame;
pub mod parts;
pub mod platform;
pub mod state_delta;
pub mod upstream;
pub mod url;
