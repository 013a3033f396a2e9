/// Implements the traits of a crate's opaque error type, `struct Error(Box<Inner>)`.
///
/// Every library has one error type that is one word wide; what it holds stays private, so
/// that it can change. `Inner` is an enum with messages, usually by `thiserror`.
#[macro_export]
macro_rules! opaque_error {
    ($error:ident, $inner:ident) => {
        impl<E: Into<$inner>> From<E> for $error {
            #[cold]
            fn from(inner: E) -> Self {
                Self(Box::new(inner.into()))
            }
        }

        impl std::fmt::Debug for $error {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Debug::fmt(&self.0, f)
            }
        }

        impl std::fmt::Display for $error {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::error::Error for $error {}
    };
}
