//! Stages of a listener's shutdown.

/// Stage of a listener's shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListenerStage {
    /// The listener accepts connections and keeps them open.
    #[default]
    Open,
    /// The listener accepts connections and closes each after its next answer.
    ///
    /// If an idle connection were closed instead, its caller might send a request at the same moment and could not know
    /// whether the request ran. An answer with `Connection: close` avoids this race.
    Leaving,
    /// The listener accepts no connections and closes those without a request.
    Closing,
}
