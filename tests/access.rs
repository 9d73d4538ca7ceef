//! Callers that name jobs by the same ID: whose job it is.

use eelgrassvalve::batch::access::{self, Caller};
use eelgrassvalve::batch::document::{Document, Queue, Terms};
use eelgrassvalve::batch::job::{Id, Job, Outcome, Schedule, Spec, Step};
use eelgrassvalve::batch::table::{Command, Submission, Table};
use rstest::rstest;

fn terms() -> Terms {
    Terms { pool: "pool".into(), priority: 1, attempts: 2, stretch: 2.0, target_ms: 1_000 }
}

fn queue(name: &str, prefix: &str, is_open: bool) -> Queue {
    let (name, host, prefix) = (name.into(), "host".into(), prefix.into());
    Queue { name, host, prefix, timeout_ms: 3_000, is_open, terms: terms() }
}

fn document(queues: Vec<Queue>) -> Document {
    Document { revision: 1, queues, ..Document::default() }
}

/// A job that a customer submitted at a queue.
fn job(queue: &Queue, customer: &str) -> Job {
    let steps = vec![Step { count: 1, ..Step::default() }];
    let submission = Submission {
        id: Id(1),
        queue: queue.name.clone(),
        address: queue.address(),
        customer: customer.into(),
        terms: queue.terms.clone(),
        spec: Spec { payload: "text".into(), steps, schedule: None },
    };
    let mut table = Table::default();
    table.apply(&Command::Submit(Box::new(submission)), 0).expect("the command is valid");
    table.job(Id(1)).expect("the job is stored").clone()
}

/// Whether a caller at a path owns a job.
fn owns(document: &Document, path: &str, customer: &str, job: &Job) -> bool {
    let (queue, _) = document.find_queue("host", path).expect("the queue exists");
    Caller { document, queue, customer }.owns(job)
}

const KEYED: &str = "/keyed/";
const OTHER: &str = "/other/";
const OPEN: &str = "/open/";
const OPEN_TOO: &str = "/open-too/";

fn all_queues() -> Vec<Queue> {
    vec![
        queue("keyed", KEYED, false),
        queue("other", OTHER, false),
        queue("open", OPEN, true),
        queue("open-too", OPEN_TOO, true),
    ]
}

/// Guards against a caller without a key that sees and cancels a customer's job, since it names an open queue.
#[rstest]
#[case::own_job(KEYED, "one", KEYED, "one", true)]
#[case::another_customer(KEYED, "one", KEYED, "two", false)]
#[case::without_a_key_at_an_open_queue(KEYED, "one", OPEN, "", false)]
#[case::another_customer_at_an_open_queue(KEYED, "one", OPEN, "two", false)]
#[case::the_same_customer_at_an_open_queue(KEYED, "one", OPEN, "one", false)]
#[case::the_same_customer_at_another_queue(KEYED, "one", OTHER, "one", false)]
#[case::job_without_a_customer_at_a_keyed_queue(OPEN, "", KEYED, "one", false)]
#[case::job_of_an_open_queue_at_a_keyed_one(OPEN, "one", KEYED, "one", false)]
#[case::job_without_a_customer(OPEN, "", OPEN, "", true)]
#[case::customers_job_without_a_key(OPEN, "one", OPEN, "", true)]
#[case::job_without_a_customer_with_a_key(OPEN, "", OPEN, "one", true)]
#[case::another_open_queue(OPEN, "", OPEN_TOO, "", false)]
fn a_job_belongs_to_its_queue_and_its_customer(
    #[case] submitted_at: &str,
    #[case] owner: &str,
    #[case] path: &str,
    #[case] customer: &str,
    #[case] expected: bool,
) {
    let document = document(all_queues());
    let (submitted_at, _) = document.find_queue("host", submitted_at).expect("the queue exists");
    let job = job(submitted_at, owner);
    assert_eq!(owns(&document, path, customer, &job), expected);
}

/// A job stays its customer's whatever the document makes of its queue, and becomes nobody else's.
#[rstest]
#[case::renamed(vec![queue("new", KEYED, false)], KEYED, "one", true)]
#[case::renamed_for_another_customer(vec![queue("new", KEYED, false)], KEYED, "two", false)]
#[case::at_another_address(vec![queue("keyed", "/new/", false)], "/new/", "one", true)]
#[case::at_another_address_without_a_key(vec![queue("keyed", "/new/", false)], "/new/", "two", false)]
#[case::opened(vec![queue("keyed", KEYED, true)], KEYED, "", true)]
#[case::swapped(vec![queue("keyed", OTHER, false), queue("other", KEYED, false)], KEYED, "one", true)]
#[case::swapped_and_named(vec![queue("keyed", OTHER, true), queue("other", KEYED, false)], OTHER, "", false)]
#[case::names_that_are_not_unique(vec![queue("keyed", KEYED, false), queue("keyed", OPEN, true)], OPEN, "", false)]
#[case::replaced(vec![queue("new", "/new/", true)], "/new/", "", false)]
fn a_job_follows_its_queue(
    #[case] queues: Vec<Queue>,
    #[case] path: &str,
    #[case] customer: &str,
    #[case] expected: bool,
) {
    let job = job(&queue("keyed", KEYED, false), "one");
    assert_eq!(owns(&document(queues), path, customer, &job), expected);
}

/// Jobs of an earlier version have no address: the name of their queue decides.
#[rstest]
#[case::its_queue(KEYED, "one", true)]
#[case::another_customer(KEYED, "two", false)]
#[case::another_queue(OTHER, "one", false)]
#[case::an_open_queue(OPEN, "", false)]
fn a_job_of_an_earlier_version_belongs_to_its_queue(
    #[case] path: &str,
    #[case] customer: &str,
    #[case] expected: bool,
) {
    let job = Job { address: String::new(), ..job(&queue("keyed", KEYED, false), "one") };
    assert_eq!(owns(&document(all_queues()), path, customer, &job), expected);
    // Without an address, the stored form is that of the earlier version.
    let stored = serde_json::to_value(&job).expect("a job can be stored");
    assert!(stored.get("address").is_none());
    assert_eq!(serde_json::from_value::<Job>(stored).expect("it can be read"), job);
}

/// Guards against a job that is answered with 200 and never stored, since its ID is that of another job of the same
/// queue and customer. What is handed in again is recognised, also after its end.
#[rstest]
#[case::the_same(|_: &mut Spec| {}, true, true)]
#[case::another_count(|spec: &mut Spec| spec.steps[0].count = 2, false, false)]
#[case::another_demand(|spec: &mut Spec| spec.steps[0].demand.cpu_milli = 7, false, false)]
#[case::another_schedule(|spec: &mut Spec| spec.schedule = Some(Schedule { count: 2, first_ms: 0, interval_ms: 1 }), false, false)]
#[case::another_step(|spec: &mut Spec| spec.steps.push(Step { count: 1, ..Step::default() }), false, false)]
// An ended job keeps neither its payload nor the order of its steps.
#[case::another_payload(|spec: &mut Spec| spec.payload = "other".into(), false, true)]
fn a_job_that_is_handed_in_again_is_told_from_another(
    #[case] change: fn(&mut Spec),
    #[case] while_it_lives: bool,
    #[case] after_its_end: bool,
) {
    let queue = queue("keyed", KEYED, false);
    let document = document(vec![queue.clone()]);
    let caller = Caller { document: &document, queue: &queue, customer: "one" };
    let live = job(&queue, "one");
    let mut spec = live.spec.clone();
    change(&mut spec);
    assert_eq!(caller.repeats(&live, &spec), while_it_lives);
    assert_eq!(access::digest(&live.spec) == access::digest(&spec), while_it_lives);
    let mut ended = Job { outcome: Some(Outcome::Completed), ..live };
    ended.spec.payload.clear();
    assert_eq!(caller.repeats(&ended, &spec), after_its_end);
}
