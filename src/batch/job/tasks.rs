//! Tasks of a step: those that have begun one by one, the others as a count.

use std::fmt;
use std::ops::{Index, IndexMut, Range};

use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::{State, Task};

/// A task that never started.
static NEW_TASK: Task = Task {
    state: State::Waiting,
    runs: 0,
    failures: 0,
    checkpoint: String::new(),
    failed_on: String::new(),
    failed_ms: 0,
    broken_run: 0,
    lapsed_run: 0,
    earlier_lapsed_runs: Vec::new(),
};

/// The tasks of a step. A task costs memory only once it, or a task after it, has changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tasks {
    // Total number of tasks.
    count: u32,
    // The first tasks; those after them never started.
    begun: Vec<Task>,
}

impl Tasks {
    /// Tasks that have not started.
    pub fn new(count: u32) -> Self {
        Self { count, begun: Vec::new() }
    }

    /// Number of tasks.
    pub fn len(&self) -> usize {
        self.count as usize
    }

    /// Whether there are no tasks.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The task at a position.
    pub fn get(&self, index: usize) -> Option<&Task> {
        if index >= self.len() {
            return None;
        }
        Some(self.begun.get(index).unwrap_or(&NEW_TASK))
    }

    /// The task at a position, to be changed.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Task> {
        if index >= self.len() {
            return None;
        }
        if index >= self.begun.len() {
            self.begun.resize(index + 1, Task::default());
        }
        self.begun.get_mut(index)
    }

    /// The first tasks, among them all that have ever started.
    pub fn begun(&self) -> &[Task] {
        &self.begun
    }

    /// All tasks.
    pub fn iter(&self) -> impl Iterator<Item = &Task> {
        let new = std::iter::repeat_n(&NEW_TASK, self.len() - self.begun.len());
        self.begun.iter().chain(new)
    }

    /// All tasks, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.begun.resize(self.len(), Task::default());
        self.begun.iter_mut()
    }

    /// The waiting tasks.
    pub fn waiting(&self) -> Waiting {
        let begun = (0..).zip(&self.begun).filter(|(_, task)| task.state == State::Waiting);
        let begun = begun.map(|(index, _)| index).collect();
        Waiting { begun, new: self.begun.len() as u32..self.count }
    }

    fn of_list(mut tasks: Vec<Task>) -> Self {
        let count = tasks.len() as u32;
        let begun = tasks.iter().rposition(|task| *task != NEW_TASK).map_or(0, |last| last + 1);
        tasks.truncate(begun);
        tasks.shrink_to_fit();
        Self { count, begun: tasks }
    }
}

impl Index<usize> for Tasks {
    type Output = Task;

    fn index(&self, index: usize) -> &Task {
        self.get(index).expect("a position among the tasks")
    }
}

impl IndexMut<usize> for Tasks {
    fn index_mut(&mut self, index: usize) -> &mut Task {
        self.get_mut(index).expect("a position among the tasks")
    }
}

impl<'a> IntoIterator for &'a Tasks {
    type Item = &'a Task;
    type IntoIter = Box<dyn Iterator<Item = &'a Task> + 'a>;

    fn into_iter(self) -> Self::IntoIter {
        Box::new(self.iter())
    }
}

// Earlier versions stored a list of all tasks.
impl<'de> Deserialize<'de> for Tasks {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(TasksVisitor)
    }
}

struct TasksVisitor;

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Field {
    Count,
    Begun,
    #[serde(other)]
    Unknown,
}

impl<'de> Visitor<'de> for TasksVisitor {
    type Value = Tasks;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("the tasks of a step")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Tasks, A::Error> {
        let mut tasks = Vec::new();
        while let Some(task) = list.next_element()? {
            tasks.push(task);
        }
        Ok(Tasks::of_list(tasks))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tasks, A::Error> {
        let mut tasks = Tasks::default();
        while let Some(field) = map.next_key()? {
            match field {
                Field::Count => tasks.count = map.next_value()?,
                Field::Begun => tasks.begun = map.next_value()?,
                Field::Unknown => {
                    map.next_value::<serde::de::IgnoredAny>()?;
                }
            }
        }
        if tasks.begun.len() > tasks.len() {
            return Err(serde::de::Error::custom("more tasks have begun than there are"));
        }
        Ok(tasks)
    }
}

/// Waiting tasks of a step, by their positions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    // Those that may have run before, in order.
    begun: Vec<u32>,
    // Those that never started, all of them after the others.
    new: Range<u32>,
}

impl Waiting {
    /// Number of waiting tasks.
    pub fn len(&self) -> usize {
        self.begun.len() + self.new.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Positions of the tasks, in order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.begun.iter().copied().chain(self.new.clone())
    }

    /// Positions of the tasks that may have run before.
    pub fn begun(&self) -> &[u32] {
        &self.begun
    }

    /// Keeps only these of the tasks that may have run before.
    pub fn retain_begun(&mut self, is_kept: impl FnMut(&u32) -> bool) {
        self.begun.retain(is_kept);
    }
}
