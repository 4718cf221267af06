//! A bounded ring between two or more duties.

use std::time::Instant;

use async_channel::{Receiver, Sender, TrySendError};
use async_io::Timer;
use futures_lite::future;

/// Sending end of a bounded ring.
#[derive(Debug)]
pub struct RingSender<T> {
    name: &'static str,
    sender: Sender<T>,
}

/// Receiving end of a bounded ring.
#[derive(Debug)]
pub struct RingReceiver<T> {
    receiver: Receiver<T>,
}

/// Why [`RingSender::offer`] did not take a message; the message comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferError<T> {
    /// The ring holds as many messages as it can.
    Full(T),
    /// All receivers are gone.
    Closed(T),
}

/// The other end of the ring is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RingClosed;

/// Creates a ring that holds at most `capacity` messages; `name` labels its metrics.
///
/// # Panics
///
/// Panics when `capacity` is 0.
pub fn ring<T>(name: &'static str, capacity: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (sender, receiver) = async_channel::bounded(capacity);
    (RingSender { name, sender }, RingReceiver { receiver })
}

impl<T> RingSender<T> {
    /// Puts a message into the ring without waiting.
    ///
    /// # Errors
    ///
    /// Gives the message back when the ring is full or closed.
    pub fn offer(&self, message: T) -> Result<(), OfferError<T>> {
        self.sender.try_send(message).map_err(|error| match error {
            TrySendError::Full(message) => {
                metrics::counter!("pw_ring_full_total", "ring" => self.name).increment(1);
                OfferError::Full(message)
            }
            TrySendError::Closed(message) => OfferError::Closed(message),
        })
    }

    /// Waits for room and puts a message into the ring.
    ///
    /// # Errors
    ///
    /// Fails when all receivers are gone.
    pub async fn send(&self, message: T) -> Result<(), RingClosed> {
        self.sender.send(message).await.map_err(|_| RingClosed)
    }

    /// Returns how many messages wait in the ring.
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
    /// Waits for the next message; `None` once all senders are gone and the ring is empty.
    pub async fn recv(&self) -> Option<T> {
        self.receiver.recv().await.ok()
    }

    /// Waits for the next message until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails when all senders are gone and the ring is empty.
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
