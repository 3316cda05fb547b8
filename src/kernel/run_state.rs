//! What an instance knows of a generation whose engine may be asked to stop it.

/// Whether the engine of a stream may have stopped its generation by order.
///
/// The end of a stream is the end of its generation only while it is certain that no order has
/// stopped it. Two owners may order a stop at once: the outcome of one order says nothing of the
/// other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunState {
    /// Orders to stop it that are in progress.
    orders: u32,
    /// Whether an earlier order, whose outcome is not known, may have stopped it.
    maybe_stopped: bool,
}

impl RunState {
    /// Records that the engine is being asked to stop it.
    pub fn record_order(&mut self) {
        self.orders += 1;
    }

    /// Records that an order in progress has had no effect.
    pub fn record_no_effect(&mut self) {
        self.orders = self.orders.saturating_sub(1);
    }

    /// Records that the outcome of an order in progress is not known.
    pub fn record_unclear(&mut self) {
        self.orders = self.orders.saturating_sub(1);
        self.maybe_stopped = true;
    }

    /// Records that the engine was seen to run it after the last order.
    pub fn record_running(&mut self) {
        self.maybe_stopped = false;
    }

    /// Records that another engine runs it now, or that it began anew.
    pub fn record_new_engine(&mut self) {
        *self = Self::default();
    }

    /// Returns whether an order is in progress.
    #[must_use]
    pub const fn is_stopping(self) -> bool {
        self.orders > 0
    }

    /// Returns whether an order whose outcome is not known may have stopped it.
    #[must_use]
    pub const fn may_be_stopped(self) -> bool {
        self.maybe_stopped
    }
}
