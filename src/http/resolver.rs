//! Address resolution of the client: IP addresses only.

use std::net::SocketAddr;
use ureq::{
    Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::NextTimeout,
    },
};

/// Takes the IP address and port from the URL. The resolver of `ureq` would start a thread for each
/// connection.
#[derive(Debug)]
pub(super) struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let addr = uri
            .authority()
            .and_then(|a| a.as_str().parse::<SocketAddr>().ok())
            .ok_or(Error::HostNotFound)?;
        let mut found = self.empty();
        found.push(addr);
        Ok(found)
    }
}
