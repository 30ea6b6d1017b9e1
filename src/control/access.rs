//! Authentication on the operators' port.

use crate::{
    entry::auth,
    error::{Fail, Kind, Res},
    http::Request,
    settings::Settings,
};

/// Admits a request that carries the operators' token, or any request if the settings name none.
///
/// # Errors
/// `Unauthorized` if the token is missing or wrong.
pub fn admit(settings: &Settings, request: &Request) -> Res<()> {
    let Some(token) = &settings.token else {
        return Ok(());
    };
    if auth::key_hash(request).is_ok_and(|given| given == *token) {
        return Ok(());
    }
    let text = "send the operators' token: \"authorization: Bearer TOKEN\"";
    Err(Fail::new(Kind::Unauthorized, text))
}
