//! A named thread that carries one duty.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::thread::{self, JoinHandle};

use async_executor::LocalExecutor;

/// Thread of one duty; it ends when the duty's future ends.
#[derive(Debug)]
pub struct DutyThread {
    handle: JoinHandle<()>,
}

/// Starts further futures on the thread of the duty.
#[derive(Debug, Clone)]
pub struct TaskSpawner {
    executor: Rc<LocalExecutor<'static>>,
}

impl DutyThread {
    /// Starts a thread called `name` that runs the future made by `duty` to its end.
    ///
    /// # Errors
    ///
    /// Fails when the operating system starts no thread.
    pub fn spawn<M, F>(name: &str, duty: M) -> io::Result<Self>
    where
        M: FnOnce(TaskSpawner) -> F + Send + 'static,
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

    /// Waits until the duty has ended; returns whether it ended without a panic.
    pub fn join(self) -> bool {
        self.handle.join().is_ok()
    }
}

impl TaskSpawner {
    /// Runs `future` on the duty's thread; it is dropped when the duty ends.
    pub fn spawn(&self, future: impl Future<Output = ()> + 'static) {
        self.executor.spawn(future).detach();
    }
}
