//! Readers for request headers that may occur at most once and must be plain text.

use cornelpass_core::refusal::Reason;
use hyper::header::HeaderMap;

use crate::problem::Problem;
use crate::request;

/// Maximum length of an accepted header value, in bytes.
const VALUE_LIMIT_BYTES: usize = 256;

/// Value of a header, or none if the request does not have the header.
///
/// # Errors
///
/// If the header occurs more than once, or is empty, too long or not plain text.
pub(crate) fn optional_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Problem> {
    let bad = |what: &str| {
        Err(Problem::refused(Reason::BadRequest).with_detail(format!("header {name}: {what}")))
    };
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return bad("more than once");
    }
    match value.to_str() {
        Err(_) => bad("not plain text"),
        Ok("") => bad("empty"),
        Ok(text) if text.len() > VALUE_LIMIT_BYTES => bad("too long"),
        Ok(text) => Ok(Some(text)),
    }
}

/// Organisation named by the request.
///
/// # Errors
///
/// If the header is missing or invalid.
pub(crate) fn organisation(headers: &HeaderMap) -> Result<&str, Problem> {
    optional_header(headers, request::ORGANISATION_HEADER)?.ok_or_else(|| {
        Problem::refused(Reason::UnknownOrganisation).with_detail("header x-organisation: missing")
    })
}
