//! Named threads, one for each duty.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::thread::{self, JoinHandle};

use async_executor::LocalExecutor;

/// Thread of a duty; it ends when the duty's future completes.
#[derive(Debug)]
pub struct DutyThread {
    handle: JoinHandle<()>,
}

/// Spawns further futures on the thread of a duty.
#[derive(Debug, Clone)]
pub struct TaskSpawner {
    executor: Rc<LocalExecutor<'static>>,
}

impl DutyThread {
    /// Starts a thread called `name` that runs the future returned by `duty` to completion.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't create the thread.
    pub fn spawn<D, F>(name: &str, duty: D) -> io::Result<Self>
    where
        D: FnOnce(TaskSpawner) -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let handle = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                let spawner = TaskSpawner {
                    executor: Rc::clone(&executor),
                };
                async_io::block_on(executor.run(duty(spawner)));
            })?;
        Ok(Self { handle })
    }

    /// Waits for the duty to end; returns whether it ended without a panic.
    pub fn join(self) -> bool {
        self.handle.join().is_ok()
    }
}

impl TaskSpawner {
    /// Spawns `future` on the duty's thread; it is dropped when the duty ends.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }
}
