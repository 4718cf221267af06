//! Bounded ring for messages between duties.

use std::time::Instant;

use async_channel::{Receiver, Sender, TrySendError};
use async_io::Timer;
use futures_lite::future;

/// Sender of a bounded ring.
#[derive(Debug)]
pub struct RingSender<T> {
    name: &'static str,
    sender: Sender<T>,
}

/// Receiver of a bounded ring.
#[derive(Debug)]
pub struct RingReceiver<T> {
    receiver: Receiver<T>,
}

/// Error of [`RingSender::offer`], which returns the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferError<T> {
    /// The ring is full.
    Full(T),
    /// All receivers were dropped.
    Closed(T),
}

/// Error of a ring whose other end was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RingClosed;

/// Creates a ring for at most `capacity` messages; `name` is the label of its metrics.
///
/// # Panics
///
/// Panics when `capacity` is 0.
pub fn ring<T>(name: &'static str, capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = async_channel::bounded(capacity);
    (RingSender { name, sender }, RingReceiver { receiver })
}

impl<T> RingSender<T> {
    /// Sends a message without waiting.
    ///
    /// # Errors
    ///
    /// Returns the message when the ring is full or closed.
    pub fn offer(&self, message: T) -> Result<(), OfferError<T>> {
        self.sender.try_send(message).map_err(|error| match error {
            TrySendError::Full(message) => {
                metrics::counter!("pw_ring_full_total", "ring" => self.name).increment(1);
                OfferError::Full(message)
            }
            TrySendError::Closed(message) => OfferError::Closed(message),
        })
    }

    /// Sends a message, waiting while the ring is full.
    ///
    /// # Errors
    ///
    /// Fails when all receivers were dropped.
    pub async fn send(&self, message: T) -> Result<(), RingClosed> {
        self.sender.send(message).await.map_err(|_| RingClosed)
    }

    /// Returns the number of messages in the ring.
    pub fn depth(&self) -> usize {
        self.sender.len()
    }
}

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self {
            name: self.name,
            sender: self.sender.clone(),
        }
    }
}

impl<T> RingReceiver<T> {
    /// Waits for the next message; `None` when all senders were dropped and the ring is empty.
    pub async fn recv(&self) -> Option<T> {
        self.receiver.recv().await.ok()
    }

    /// Waits for the next message; `None` when `deadline` passes first.
    ///
    /// # Errors
    ///
    /// Fails when all senders were dropped and the ring is empty.
    pub async fn recv_until(&self, deadline: Option<Instant>) -> Result<Option<T>, RingClosed> {
        let message = async { self.recv().await.map(Some).ok_or(RingClosed) };
        match deadline {
            None => message.await,
            Some(deadline) => {
                let timer = async {
                    Timer::at(deadline).await;
                    Ok(None)
                };
                future::or(message, timer).await
            }
        }
    }
}

impl<T> Clone for RingReceiver<T> {
    fn clone(&self) -> Self {
        Self {
            receiver: self.receiver.clone(),
        }
    }
}
