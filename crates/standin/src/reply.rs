//! Small HTTP responses.

use http_types::{Response, StatusCode};
use serde::Serialize;

pub(crate) fn json_reply(status: StatusCode, value: &(impl Serialize + ?Sized)) -> Response {
    let mut response = Response::new(status);
    match serde_json::to_vec(value) {
        Ok(body) => {
            response.set_body(body);
            response.set_content_type(http_types::mime::JSON);
        }
        Err(_) => response.set_status(StatusCode::InternalServerError),
    }
    response
}
