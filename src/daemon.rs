//! The daemon: starts its components and shuts them down in order.

use std::sync::Arc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};
use tokio::sync::watch;

use crate::control::Control;
use crate::control::client::Client;
use crate::entry::{Entry, gossip, lease, listen, token};
use crate::error::Result;
use crate::kernel::timer::Timer;
use crate::kernel::{signal, task};
use crate::mesh::call::{Answer, Call};
use crate::mesh::frame::{Hello, Notice, VERSION};
use crate::mesh::{Handler, Mesh};
use crate::replica::member::Id;
use crate::replica::{Message, store};
use crate::settings::Settings;

/// Lifecycle state: files are open, the network is not used yet.
pub struct Starting {
    store: Option<(store::Store, crate::replica::State)>,
    tokens: token::Table,
    cluster_key: Vec<u8>,
}

/// Lifecycle state: connected to the cluster.
pub struct Serving {
    entry: Arc<Entry>,
    control: Option<Arc<Control>>,
}

/// A daemon in lifecycle state `S`.
pub struct Daemon<S> {
    settings: Settings,
    state: S,
}

struct Dispatcher {
    entry: Arc<Entry>,
    control: Option<Arc<Control>>,
}

impl Handler for Dispatcher {
    fn on_replica(&self, from: Id, message: Message) {
        if let Some(control) = &self.control {
            control.on_replica(from, message);
        }
    }

    async fn on_call(self: Arc<Self>, from: String, call: Call) -> Result<Answer> {
        match &self.control {
            Some(control) => control.on_call(&from, call).await,
            None => Ok(Answer::Redirect(None)),
        }
    }

    fn on_notice(&self, from: &str, notice: Notice) {
        self.entry.on_notice(from, notice);
    }

    fn on_link(&self, peer: &Hello) {
        self.entry.on_link(peer);
    }
}

impl Daemon<Starting> {
    /// Opens the files named in the settings.
    ///
    /// # Errors
    /// If a file can't be opened or is invalid.
    pub fn open(settings: Settings) -> miette::Result<Self> {
        let store = match &settings.data_folder {
            Some(folder) if settings.is_control => Some(
                store::Store::open(folder)
                    .into_diagnostic()
                    .wrap_err("the data folder can't be used")?,
            ),
            _ => None,
        };
        let tokens = match &settings.tokens {
            Some(path) => token::Table::load(path).into_diagnostic()?,
            None => token::Table::open(),
        };
        let cluster_key =
            std::fs::read(&settings.cluster_key).into_diagnostic().wrap_err_with(|| {
                format!("can't read the cluster key file {}", settings.cluster_key.display())
            })?;
        let state = Starting { store, tokens, cluster_key: cluster_key.trim_ascii().to_vec() };
        Ok(Self { settings, state })
    }

    /// Starts the components and connects to the other daemons.
    ///
    /// # Errors
    /// If the mesh listener can't be bound.
    pub async fn start(self) -> miette::Result<Daemon<Serving>> {
        let settings = self.settings;
        let timer = Timer::system();
        let id = self.state.store.as_ref().map(|(store, _)| store.id());
        let hello = Hello {
            version: VERSION,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            id: id.unwrap_or_else(|| Id(rand::random())),
            incarnation: rand::random(),
            is_entry: settings.is_entry,
            is_control: settings.is_control,
        };
        let mesh = Mesh::new(hello);
        let control = self.state.store.map(|(store, saved)| {
            Control::start(&settings, timer.clone(), mesh.clone(), store, saved)
        });
        let client = Client::new(&settings, timer.clone(), mesh.clone(), control.clone());
        let tokens = self.state.tokens;
        let entry = Entry::new(&settings, timer, mesh.clone(), client, tokens);
        if let Some(control) = &control {
            let local_entry = entry.clone();
            control.set_local_notice_handler(move |notice| local_entry.on_notice("", notice));
        }
        let handler = Arc::new(Dispatcher { entry: entry.clone(), control: control.clone() });
        let listening = mesh.start(&settings, self.state.cluster_key, handler).await;
        listening
            .into_diagnostic()
            .wrap_err_with(|| format!("can't listen for links on {}", settings.listen.mesh))?;
        if settings.is_entry {
            task::spawn_critical("lease renewal", lease::renew_periodically(entry.clone()));
            task::spawn_critical("gossip", gossip::broadcast_periodically(entry.clone()));
        }
        Ok(Daemon { settings, state: Serving { entry, control } })
    }
}

impl Daemon<Serving> {
    /// Serves until SIGTERM or SIGINT, then drains and returns.
    ///
    /// # Errors
    /// If a listener can't be bound.
    pub async fn run(self) -> miette::Result<()> {
        tokio::spawn(signal::log_hangups());
        let (drained_sender, drained) = watch::channel(false);
        let listeners = listen::run(self.state.entry.clone(), drained);
        tokio::pin!(listeners);
        tokio::select! {
            result = &mut listeners => return result,
            () = signal::wait_for_shutdown() => {}
        }
        tracing::info!(name = self.settings.name, "shutting down");
        let drain = async {
            self.state.entry.drain().await;
            if let Some(control) = &self.state.control {
                control.transfer_leadership().await;
            }
            // Followers learn of the new leader before the links of this daemon close.
            tokio::time::sleep(Duration::from_millis(self.settings.times.heartbeat_ms)).await;
            drained_sender.send_replace(true);
        };
        let (result, ()) = tokio::join!(listeners, drain);
        result
    }
}
