//! Child processes of the controllers' program: the controllers, and a snapshotter.

use crate::error::StandinError;
use std::fs::File;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

/// Name of the file with the operators' policy, in the work folder.
pub(crate) const POLICY_FILE: &str = "policy";

/// Returns the name of a controller, which is also the stem of its settings and log files.
pub(crate) fn controller_name(number: usize) -> String {
    format!("controller-{number}")
}

/// Processes of the controllers and of the snapshotter; all are killed on drop.
pub(crate) struct Controllers {
    program: PathBuf,
    dir: PathBuf,
    children: Mutex<Vec<Option<Child>>>,
    snapshotter: Mutex<Option<Child>>,
}

impl Controllers {
    /// Creates the set without starting a process.
    pub(crate) fn new(program: &Path, dir: &Path, count: usize) -> Controllers {
        Controllers {
            program: program.to_path_buf(),
            dir: dir.to_path_buf(),
            children: Mutex::new((0..count).map(|_| None).collect()),
            snapshotter: Mutex::default(),
        }
    }

    fn path_in_dir(&self, name: &str) -> String {
        self.dir.join(name).display().to_string()
    }

    /// Starts a controller. Its settings file must exist in the work folder.
    pub(crate) fn start(&self, number: usize) -> Result<(), StandinError> {
        let name = controller_name(number);
        let (policy, config) = (
            self.path_in_dir(POLICY_FILE),
            self.path_in_dir(&format!("{name}.json")),
        );
        let args = ["serve", "--policy", &policy, "--config", &config];
        let child = self.spawn(&format!("{name}.log"), &args)?;
        self.children.lock().expect("lock is not poisoned")[number] = Some(child);
        Ok(())
    }

    /// Spawns the program with these arguments; appends its stderr to the file `log`.
    fn spawn(&self, log: &str, args: &[&str]) -> Result<Child, StandinError> {
        let log = self.dir.join(log);
        let open = File::options().create(true).append(true).open(&log);
        let log = open.map_err(StandinError::at(&log))?;
        Command::new(&self.program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(StandinError::at(&self.program))
    }

    /// Starts the snapshotter, which archives snapshots of the state service.
    pub(crate) fn start_snapshotter(&self) -> Result<(), StandinError> {
        let (config, dir) = (
            self.path_in_dir("controller-0.json"),
            self.path_in_dir("archive"),
        );
        let args = ["archive", "--config", &config, "--dir", &dir];
        let child = self.spawn("archivist.log", &args)?;
        *self.snapshotter.lock().expect("lock is not poisoned") = Some(child);
        Ok(())
    }

    /// Sends the newest snapshot to a controller; returns whether the controller accepted it.
    pub(crate) fn restore(&self, node: SocketAddrV4) -> Result<bool, StandinError> {
        let (dir, node) = (self.path_in_dir("archive"), node.to_string());
        let args = ["snapshot", "restore", "--dir", &dir, "--node", &node];
        let status = self.spawn("restore.log", &args)?.wait()?;
        Ok(status.success())
    }

    /// Returns the process ids of the controllers, by number; `None` for a controller that was killed.
    pub(crate) fn pids(&self) -> Vec<Option<u32>> {
        let children = self.children.lock().expect("lock is not poisoned");
        let ids = children.iter().map(|child| child.as_ref().map(Child::id));
        ids.collect()
    }

    /// Kills a controller (SIGKILL).
    pub(crate) fn kill(&self, number: usize) {
        if let Some(mut child) = self.children.lock().expect("lock is not poisoned")[number].take()
        {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the numbers of the controllers that exited without being killed.
    pub(crate) fn exited(&self) -> Vec<usize> {
        let mut children = self.children.lock().expect("lock is not poisoned");
        let has_exited = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        let children = children.iter_mut().enumerate();
        children
            .filter_map(|(number, child)| child.as_mut().map(|child| (number, child)))
            .filter_map(|(number, child)| has_exited(child).then_some(number))
            .collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        let count = self.children.lock().map_or(0, |c| c.len());
        (0..count).for_each(|n| self.kill(n));
        let snapshotter = self.snapshotter.lock().ok().and_then(|mut a| a.take());
        if let Some(mut child) = snapshotter {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
