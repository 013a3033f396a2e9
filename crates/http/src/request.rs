use std::net::SocketAddr;

/// A completely received request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, for example `GET`.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The address of the client.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns the value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the value of a query parameter without percent-decoding it.
    ///
    /// The parameters of dogwoodlb's endpoints are names and numbers, which need no escaping.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the non-empty segments of the path.
    pub fn path_segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }
}
