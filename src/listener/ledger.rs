//! Account of the bytes that the connections of a process hold, and the choice of the connection
//! that is closed when they hold too many. Does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use derive_more::{Display, Error};
use tokio::sync::oneshot;

use super::entry::{Entry, grown_capacity};
use super::parts::{Need, Parts, Share};

/// Result of taking bytes.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Bytes that an open connection costs before it sends anything: its task, its socket and its
/// buffers for reading and for heads of responses.
pub const CONNECTION_BYTES: usize = 12 << 10;
/// Bytes of a request or response, for each connection, that come from the part for small ones. A
/// heartbeat or a job of ordinary size fits.
pub const SMALL_BYTES: usize = 16 << 10;
/// Bytes of a body that count as progress; a client that sends less appears to stand still.
const PROGRESS_BYTES: usize = 4 << 10;

/// Why bytes or a connection were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// Nothing that could be closed makes room.
    #[display("no memory is left for this request")]
    Full,
    /// The connection was closed to make room for others.
    #[display("closed to make room for others")]
    Evicted,
}

/// Identity of a listener in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(usize);

/// Identity of a connection in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// What a listener holds, and what has been turned away since the last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Name of the listener.
    pub listener: &'static str,
    /// Open connections.
    pub connections: usize,
    /// Bytes held by them.
    pub held_bytes: usize,
    /// Requests and connections refused since the last report.
    pub refused: u64,
    /// Connections closed since the last report to make room for others.
    pub closed: u64,
}

#[derive(Debug)]
struct Listener {
    max_connections: usize,
    is_reserved: bool,
    // Refused connections for which none has been given up since.
    wanted_connections: usize,
    report: Report,
}

/// Bytes held by all connections of a process.
#[derive(Debug)]
pub struct Ledger {
    limits: Parts,
    held: Parts,
    listeners: Vec<Listener>,
    shares: BTreeMap<(ListenerId, IpAddr), Share>,
    entries: BTreeMap<ConnectionId, Entry>,
    // Evicted connections that still have buffers of their own.
    releasing: BTreeSet<ConnectionId>,
    // Also the last position in the order of progress.
    last_number: u64,
}

impl Ledger {
    /// Creates an account with room for `max_bytes`, half of which is for connections and small
    /// requests.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            limits: Parts { small: max_bytes / 2, large: max_bytes / 2 },
            held: Parts::default(),
            listeners: Vec::new(),
            shares: BTreeMap::new(),
            entries: BTreeMap::new(),
            releasing: BTreeSet::new(),
            last_number: 0,
        }
    }

    /// Adds a listener with a maximum number of concurrent connections. Those of a reserved one are
    /// accepted also when the part for connections is full.
    pub fn add_listener(
        &mut self,
        name: &'static str,
        max_connections: usize,
        is_reserved: bool,
    ) -> ListenerId {
        let report = Report { listener: name, ..Report::default() };
        let wanted_connections = 0;
        self.listeners.push(Listener { max_connections, is_reserved, wanted_connections, report });
        ListenerId(self.listeners.len() - 1)
    }

    /// Adds a connection from `peer`. The receiver resolves when the connection is evicted.
    ///
    /// # Errors
    /// If the listener or the process has as many connections as it can hold, and none of them can
    /// be closed.
    pub fn open(
        &mut self,
        listener: ListenerId,
        peer: IpAddr,
        now_ms: u64,
    ) -> Result<(ConnectionId, oneshot::Receiver<()>)> {
        let result = self.try_open(listener, peer, now_ms);
        if result.is_err() {
            self.report_mut(listener).refused += 1;
            self.listeners[listener.0].wanted_connections += 1;
        }
        result
    }

    fn try_open(
        &mut self,
        listener: ListenerId,
        peer: IpAddr,
        now_ms: u64,
    ) -> Result<(ConnectionId, oneshot::Receiver<()>)> {
        let is_at_limit = |ledger: &Self| {
            let listener = &ledger.listeners[listener.0];
            listener.report.connections >= listener.max_connections
        };
        while is_at_limit(self) {
            let need = Need::Connection { listener, now_ms };
            let victim = self.choose(need).ok_or(Refusal::Full)?;
            self.evict(victim);
        }
        let held = Parts::of_connection(0);
        let has_room = self.make_room(held, None);
        if !self.listeners[listener.0].is_reserved {
            has_room?;
        }
        let (eviction, evicted) = oneshot::channel();
        let entry = Entry {
            listener,
            peer,
            progress: self.next_number(),
            unmarked_bytes: 0,
            head_bytes: 0,
            body: Vec::new(),
            body_bytes: 0,
            answer_bytes: 0,
            is_serving: false,
            answered_ms: now_ms,
            _eviction: eviction,
        };
        let id = ConnectionId(entry.progress);
        self.entries.insert(id, entry);
        self.add(listener, peer, held);
        self.report_mut(listener).connections += 1;
        self.shares.entry((listener, peer)).or_default().connections += 1;
        Ok((id, evicted))
    }

    /// Removes a connection, of which all buffers are released.
    pub fn close(&mut self, id: ConnectionId) {
        self.remove(id);
        self.releasing.remove(&id);
    }

    /// Whether evicted connections still have buffers that they are about to release.
    pub fn is_releasing(&self) -> bool {
        !self.releasing.is_empty()
    }

    fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        self.subtract(entry.listener, entry.peer, entry.held());
        self.report_mut(entry.listener).connections -= 1;
        let key = (entry.listener, entry.peer);
        let Some(share) = self.shares.get_mut(&key) else { return };
        share.connections -= 1;
        if share.connections == 0 {
            self.shares.remove(&key);
        }
    }

    /// Sets the size of the buffer for a head that has not ended, if it is beyond what every
    /// connection has room for.
    ///
    /// # Errors
    /// If there is no room, or the connection was evicted.
    pub fn hold_head(&mut self, id: ConnectionId, bytes: usize) -> Result<()> {
        let entry = self.entries.get(&id).ok_or(Refusal::Evicted)?;
        let added = bytes.saturating_sub(entry.head_bytes);
        self.take(id, added)?;
        self.update(id, |entry| entry.head_bytes = bytes);
        Ok(())
    }

    /// Marks a request as being served, during which the connection can't be evicted.
    pub fn begin(&mut self, id: ConnectionId) {
        self.update(id, |entry| entry.is_serving = true);
    }

    /// Marks the body of a request as being read, before it is served.
    pub fn begin_body(&mut self, id: ConnectionId) {
        self.update(id, |entry| entry.is_serving = false);
    }

    /// Adds bytes that have arrived to the body of a request. `max_length` is the length that the
    /// body can reach.
    ///
    /// # Errors
    /// If there is no room, or the connection was evicted.
    pub fn append(&mut self, id: ConnectionId, bytes: &[u8], max_length: usize) -> Result<()> {
        let entry = self.entries.get(&id).ok_or(Refusal::Evicted)?;
        let length = entry.body.len() + bytes.len();
        if length > entry.body_bytes {
            let capacity = grown_capacity(entry.body_bytes, length, max_length);
            let added = capacity - entry.body_bytes;
            self.take(id, added)?;
            self.update(id, |entry| {
                entry.body.reserve_exact(capacity - entry.body.len());
                entry.body_bytes = capacity;
            });
        }
        let number = self.next_number();
        let Some(entry) = self.entries.get_mut(&id) else { return Err(Refusal::Evicted) };
        let is_first = entry.body.is_empty();
        entry.body.extend_from_slice(bytes);
        entry.unmarked_bytes += bytes.len();
        if is_first || entry.unmarked_bytes >= PROGRESS_BYTES {
            (entry.progress, entry.unmarked_bytes) = (number, 0);
        }
        Ok(())
    }

    /// Returns the body of a request that was read in full. Its bytes stay in the account until
    /// the response is ready, and the connection can't be evicted until then.
    ///
    /// # Errors
    /// If the connection was evicted.
    pub fn take_body(&mut self, id: ConnectionId) -> Result<Vec<u8>> {
        let entry = self.entries.get_mut(&id).ok_or(Refusal::Evicted)?;
        entry.is_serving = true;
        entry.unmarked_bytes = 0;
        Ok(std::mem::take(&mut entry.body))
    }

    /// Replaces the bytes of a request by those of its response, for which room is made where it
    /// can be: a response that is ready is delivered. Returns whether the connection has to end with
    /// it, since another one was refused.
    pub fn hold_answer(&mut self, id: ConnectionId, bytes: usize, now_ms: u64) -> bool {
        let number = self.next_number();
        self.update(id, |entry| {
            (entry.head_bytes, entry.body_bytes) = (0, 0);
            entry.body = Vec::new();
            entry.is_serving = false;
            entry.unmarked_bytes = 0;
            (entry.progress, entry.answered_ms) = (number, now_ms);
        });
        let Some(entry) = self.entries.get_mut(&id) else { return true };
        let listener = entry.listener;
        // Making room must not close the connection itself.
        entry.is_serving = true;
        let added = self.parts_added(id, bytes);
        let _ = self.make_room(added, Some(id));
        self.update(id, |entry| {
            entry.answer_bytes += bytes;
            entry.is_serving = false;
        });
        let listener = &mut self.listeners[listener.0];
        let is_wanted = listener.wanted_connections > 0;
        listener.wanted_connections = listener.wanted_connections.saturating_sub(1);
        is_wanted
    }

    /// Releases the bytes of responses that have been written.
    pub fn release_answer(&mut self, id: ConnectionId) {
        self.update(id, |entry| entry.answer_bytes = 0);
    }

    /// Returns what each listener holds and what it has turned away since the last call.
    pub fn take_reports(&mut self) -> Vec<Report> {
        let mut reports = Vec::new();
        for listener in &mut self.listeners {
            reports.push(listener.report.clone());
            (listener.report.refused, listener.report.closed) = (0, 0);
        }
        reports
    }

    /// Bytes held by all connections.
    pub fn held_bytes(&self) -> usize {
        self.held.total()
    }

    /// Whether the connection is still in the account.
    pub fn contains(&self, id: ConnectionId) -> bool {
        self.entries.contains_key(&id)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn report_mut(&mut self, listener: ListenerId) -> &mut Report {
        &mut self.listeners[listener.0].report
    }

    // Makes room for further bytes of a request, or counts the request as refused.
    fn take(&mut self, id: ConnectionId, bytes: usize) -> Result<()> {
        let added = self.parts_added(id, bytes);
        let result = self.make_room(added, Some(id));
        if let (Err(Refusal::Full), Some(entry)) = (result, self.entries.get(&id)) {
            let listener = entry.listener;
            self.report_mut(listener).refused += 1;
        }
        result
    }

    fn parts_added(&self, id: ConnectionId, bytes: usize) -> Parts {
        let Some(entry) = self.entries.get(&id) else { return Parts::default() };
        let mut added = Parts::of_connection(entry.held_bytes() + bytes);
        added.subtract(entry.held());
        added
    }

    // Closes connections until there is room. A connection that would have to be closed itself is
    // refused instead.
    fn make_room(&mut self, added: Parts, requester: Option<ConnectionId>) -> Result<()> {
        while self.held.small + added.small > self.limits.small && added.small > 0 {
            self.evict_for(Need::Small, requester)?;
        }
        while self.held.large + added.large > self.limits.large && added.large > 0 {
            self.evict_for(Need::Large, requester)?;
        }
        Ok(())
    }

    fn evict_for(&mut self, need: Need, requester: Option<ConnectionId>) -> Result<()> {
        let victim = self.choose(need).filter(|victim| Some(*victim) != requester);
        self.evict(victim.ok_or(Refusal::Full)?);
        Ok(())
    }

    // The client that holds most goes first, so that one crowd takes no more than its own address
    // has; of its connections, the one whose last progress is longest ago. Requests that are being
    // served are never broken off.
    fn choose(&self, need: Need) -> Option<ConnectionId> {
        let mut heaviest: Option<(usize, (ListenerId, IpAddr))> = None;
        for (key, share) in &self.shares {
            let is_concerned = match need {
                Need::Connection { listener, .. } => key.0 == listener,
                _ => true,
            };
            let weight = share.weight(need);
            if is_concerned && heaviest.is_none_or(|(most, _)| weight > most) {
                heaviest = Some((weight, *key));
            }
        }
        let (_, heaviest) = heaviest?;
        let mut oldest: Option<(bool, u64, ConnectionId)> = None;
        for (id, entry) in &self.entries {
            if !entry.can_be_closed_for(need) {
                continue;
            }
            let is_other = (entry.listener, entry.peer) != heaviest;
            let rank = (is_other, entry.progress, *id);
            if oldest.is_none_or(|best| rank < best) {
                oldest = Some(rank);
            }
        }
        oldest.map(|(.., id)| id)
    }

    fn evict(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.get(&id) {
            // The account itself holds the body, which is released with the entry.
            if entry.head_bytes + entry.answer_bytes > 0 {
                self.releasing.insert(id);
            }
            let listener = entry.listener;
            self.report_mut(listener).closed += 1;
        }
        self.remove(id);
    }

    // Changes an entry and the sums over it.
    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let before = entry.held();
        change(entry);
        let (after, listener, peer) = (entry.held(), entry.listener, entry.peer);
        if before != after {
            self.subtract(listener, peer, before);
            self.add(listener, peer, after);
        }
    }

    fn add(&mut self, listener: ListenerId, peer: IpAddr, parts: Parts) {
        self.held.add(parts);
        self.report_mut(listener).held_bytes += parts.total();
        self.shares.entry((listener, peer)).or_default().held.add(parts);
    }

    fn subtract(&mut self, listener: ListenerId, peer: IpAddr, parts: Parts) {
        self.held.subtract(parts);
        self.report_mut(listener).held_bytes -= parts.total();
        self.shares.entry((listener, peer)).or_default().held.subtract(parts);
    }
}
