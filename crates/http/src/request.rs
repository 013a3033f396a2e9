use std::net::SocketAddr;

/// A request whose head and body have been read in full.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, as `GET`.
    pub method: String,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The address of the client.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns a header's value; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns a query parameter's value, undecoded.
    ///
    /// The parameters of dogwoodlb's endpoints are names and numbers, which need no escapes.
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
