/// Implements the traits of a crate's opaque error type, `struct Error(Box<Inner>)`.
///
/// Each library has one error type, a pointer to a private enum. It occupies one machine word, and
/// its variants can change without breaking callers. `Inner` must implement `Debug` and `Display`,
/// usually derived with `thiserror`.
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
