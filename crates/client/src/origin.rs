/// How a response relates to the request after which it arrived.
///
/// A faulty server may send more than one response to a request. Such an extra response can arrive
/// when the next request on its connection waits for its own. See
/// docs/design/response-correlation.md.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// It names the request, and the connection has carried no other request of this id.
    Named,
    /// It names no request and is the first response on its connection, so that it is the response
    /// to the request.
    First,
    /// It names no request, and other responses came before it on the connection. It is the response
    /// to the request or an extra one.
    Unnamed {
        /// Whether each response before it on the connection named a request.
        is_first_unnamed: bool,
    },
    /// It names another request.
    Foreign,
}
