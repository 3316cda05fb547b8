//! What an instance knows of a generation whose engine may be asked to stop it.

/// Whether the engine of a stream may have stopped its generation by order.
///
/// The end of a stream is the end of its generation only while it is certain that no order has
/// stopped it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum RunState {
    /// No order to stop can have had an effect.
    #[default]
    Running,
    /// The engine is being asked to stop it.
    Stopping {
        /// Whether an earlier order may have stopped it.
        maybe_stopped: bool,
    },
    /// An order may have stopped it; its outcome is not known.
    Unclear,
}

impl RunState {
    /// Records that the engine is being asked to stop it.
    pub fn record_order(&mut self) {
        let maybe_stopped = self.may_be_stopped();
        *self = Self::Stopping { maybe_stopped };
    }

    /// Records that the order in progress has had no effect.
    pub fn record_no_effect(&mut self) {
        *self = match self {
            Self::Stopping {
                maybe_stopped: false,
            }
            | Self::Running => Self::Running,
            Self::Stopping {
                maybe_stopped: true,
            }
            | Self::Unclear => Self::Unclear,
        };
    }

    /// Records that the outcome of an order is not known.
    pub fn record_unclear(&mut self) {
        *self = Self::Unclear;
    }

    /// Records that the engine was seen to run it after the last order, or that another runs it now.
    pub fn record_running(&mut self) {
        *self = Self::Running;
    }

    /// Returns whether an order is in progress.
    #[must_use]
    pub const fn is_stopping(self) -> bool {
        matches!(self, Self::Stopping { .. })
    }

    /// Returns whether an order whose outcome is not known may have stopped it.
    #[must_use]
    pub const fn may_be_stopped(self) -> bool {
        matches!(
            self,
            Self::Unclear
                | Self::Stopping {
                    maybe_stopped: true
                }
        )
    }
}
