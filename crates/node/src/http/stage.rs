//! How far a listener is on its way out.

/// How far a listener is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerStage {
    /// It takes connections and keeps them open.
    #[default]
    Open,
    /// It takes connections, and closes each after its next answer.
    ///
    /// A connection that is closed while it is idle may be closed just as its caller sends a request, which then is lost
    /// for no reason that the caller can know. An answer that says that its connection is closed leaves no such doubt.
    Leaving,
    /// It takes no connections and closes those without a request.
    Closing,
}
