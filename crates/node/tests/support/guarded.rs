//! Processes that a test starts, and that are gone when it is.

use std::io;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Time between two looks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// What the guard does: the pipe ends with the test's process, however that ends.
const GUARD_SCRIPT: &str = r#"read -r _; kill -KILL "$0""#;

/// A process, and a shell that kills it once the test's own process is gone.
///
/// A test that is ended by a signal drops nothing: the processes it started
/// would go on, with their ports and disks, beside those of the next run.
pub struct GuardedChild {
    child: Child,
    guard: Child,
}

impl GuardedChild {
    pub fn spawn(command: &mut Command) -> io::Result<GuardedChild> {
        let mut child = command.spawn()?;
        let guard = Command::new("sh")
            .args(["-c", GUARD_SCRIPT, &child.id().to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        match guard {
            Ok(guard) => Ok(GuardedChild { child, guard }),
            Err(error) => {
                child.kill()?;
                child.wait()?;
                Err(error)
            }
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn take_stderr(&mut self) -> Option<ChildStderr> {
        self.child.stderr.take()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.wait();
    }

    /// Waits for its end, guarded until then.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns how it ended, if it has.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        if status.is_some() {
            // Its number may be somebody else's from now on.
            let _ = self.guard.kill();
            let _ = self.guard.wait();
        }
        Ok(status)
    }
}

impl Drop for GuardedChild {
    fn drop(&mut self) {
        self.kill();
    }
}
