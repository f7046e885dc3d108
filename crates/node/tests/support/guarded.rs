//! Child processes of a test that are killed when the test's process ends.

use std::io;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Time between two checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Shell script of the guard. Waits until standard input closes, which happens
/// when the test's process ends for any reason, and then kills the child.
const GUARD_SCRIPT: &str = r#"read -r _; kill -KILL "$0""#;

/// A child process, and a guard: a shell that kills the child process once the
/// test's own process has ended.
///
/// A test ended by a signal runs no destructors. Without the guard, its child
/// processes would keep running beside those of the next test run and keep
/// their ports and disks.
pub struct GuardedChild {
    child: Child,
    guard: Child,
}

impl GuardedChild {
    /// Starts a child process and its guard.
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

    /// Returns the child's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Takes the child's standard error stream, if it is piped and not taken yet.
    pub fn take_stderr(&mut self) -> Option<ChildStderr> {
        self.child.stderr.take()
    }

    /// Kills the child process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.wait();
    }

    /// Waits until the child process has exited. The guard stays until then.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the child's exit status, if the child has exited, and stops the
    /// guard.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        if status.is_some() {
            // The system may give the child's process id to another process now,
            // which the guard must not kill.
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
