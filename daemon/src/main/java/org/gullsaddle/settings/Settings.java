package org.gullsaddle.settings;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.template.TemplateKind;
import org.gullsaddle.yaml.YamlException;
import org.gullsaddle.yaml.YamlNode;

/**
 * A node's settings.
 *
 * <pre>
 * Settings settings = Settings.load(Path.of("entry.yaml"));
 * </pre>
 *
 * @param node the node's name, unique in the system
 * @param role what it does
 * @param region its region
 * @param dataCenter its data center
 * @param peers where other nodes connect, and the key they share
 * @param store the platform's store
 * @param vms the platform's VM list
 * @param entry what only an entry needs, or empty
 * @param agent what only an agent needs, or empty
 * @param stopMillis how long a graceful stop may take, in milliseconds
 */
public record Settings(NodeId node, Role role, String region, String dataCenter, Peers peers, Store store, Vms vms,
		Optional<Entry> entry, Optional<Agent> agent, long stopMillis) {

	private static final int MIN_KEY_LENGTH = 16;

	private static final long DEFAULT_STOP_MILLIS = 60_000;

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the settings
	 * @throws IOException if the file cannot be read
	 * @throws YamlException if it is not as expected; the problems name each place
	 */
	public static Settings load(Path file) throws IOException, YamlException {
		return parse(Files.readString(file));
	}

	/**
	 * Reads settings from their text.
	 * @param yaml the text
	 * @return the settings
	 * @throws YamlException if it is not as expected; the problems name each place
	 */
	public static Settings parse(String yaml) throws YamlException {
		YamlNode root = YamlNode.read(yaml);
		root.checkKeys("node", "role", "region", "dataCenter", "peers", "store", "vms", "entry", "agent", "stopWithin");
		NodeId node = root.convert("node", NodeId::new);
		Role role = root.choice("role", Role.values(), null);
		String region = root.convert("region", Function.identity());
		String dataCenter = root.convert("dataCenter", Function.identity());
		Peers peers = Peers.read(root.child("peers"));
		Store store = Store.read(root.child("store"));
		Vms vms = Vms.read(root.child("vms"));
		Optional<Entry> entry = Optional.empty();
		Optional<Agent> agent = Optional.empty();
		if (role == Role.ENTRY) {
			entry = Optional.of(Entry.read(root.child("entry")));
			refuse(root, "agent", role);
		}
		if (role == Role.AGENT) {
			agent = Optional.of(Agent.read(root.child("agent")));
			refuse(root, "entry", role);
		}
		long stop = root.millis("stopWithin", DEFAULT_STOP_MILLIS);
		root.throwIfProblems();
		return new Settings(node, role, region, dataCenter, peers, store, vms, entry, agent, stop);
	}

	/**
	 * Returns a name for one run of the node, which no other run has: what a run that
	 * died left in the store is not taken for the next one's.
	 * @param startMillis when the run started, in milliseconds since the epoch
	 * @return the name
	 */
	public String run(long startMillis) {
		return this.node + "." + Long.toString(startMillis, Character.MAX_RADIX);
	}

	private static void refuse(YamlNode root, String key, Role role) {
		if (root.has(key)) {
			root.addProblem(key, "must not be given for the role " + role);
		}
	}

	private static URI url(String text) {
		URI uri = URI.create(text);
		if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 0) {
			throw new IllegalArgumentException("must be a URL such as http://10.0.0.1:7000, not '" + text + "'");
		}
		return uri;
	}

	private static byte[] secret(String text) {
		if (text.length() < MIN_KEY_LENGTH) {
			throw new IllegalArgumentException("must have at least " + MIN_KEY_LENGTH + " characters");
		}
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * How nodes reach each other.
	 *
	 * @param listen where this node listens
	 * @param key the secret that all nodes share
	 */
	public record Peers(Address listen, byte[] key) {

		static Peers read(YamlNode node) {
			node.checkKeys("listen", "key");
			return new Peers(node.convert("listen", Address::of), node.convert("key", Settings::secret));
		}

	}

	/**
	 * The platform's store.
	 *
	 * @param url its address
	 * @param timeoutMillis how long a call may take, in milliseconds
	 * @param prefix the start of every key that the system uses
	 */
	public record Store(URI url, long timeoutMillis, String prefix) {

		private static final long DEFAULT_TIMEOUT_MILLIS = 1000;

		static Store read(YamlNode node) {
			node.checkKeys("url", "timeout", "prefix");
			URI url = node.convert("url", Settings::url);
			long timeout = node.millis("timeout", DEFAULT_TIMEOUT_MILLIS);
			String prefix = node.has("prefix") ? node.convert("prefix", Function.identity()) : "gullsaddle/";
			return new Store(url, timeout, prefix);
		}

	}

	/**
	 * The platform's list of VMs.
	 *
	 * @param url its address
	 * @param pollMillis how often to ask, in milliseconds
	 */
	public record Vms(URI url, long pollMillis) {

		private static final long DEFAULT_POLL_MILLIS = 1000;

		static Vms read(YamlNode node) {
			node.checkKeys("url", "poll");
			return new Vms(node.convert("url", Settings::url), node.millis("poll", DEFAULT_POLL_MILLIS));
		}

	}

	/**
	 * What only an entry needs.
	 *
	 * @param listen where callers connect
	 * @param admin where operators connect
	 * @param ratingUrl the rating service, or empty if there is none
	 * @param sessionKey the secret that all entries sign session tokens with
	 * @param teams the teams' keys
	 * @param operators the operators' keys
	 * @param shards how many locks share the requests
	 * @param grantMillis how long a part of an allowance lasts without the store, in
	 * milliseconds
	 * @param cutOffMillis how long without the store counts as cut off, in milliseconds
	 */
	public record Entry(Address listen, Address admin, Optional<URI> ratingUrl, byte[] sessionKey,
			List<AccessKey<TeamId>> teams, List<AccessKey<Operator>> operators, int shards, long grantMillis,
			long cutOffMillis) {

		private static final double DEFAULT_SHARDS = 4;

		private static final double MAX_SHARDS = 64;

		private static final long DEFAULT_GRANT_MILLIS = 300_000;

		private static final long DEFAULT_CUT_OFF_MILLIS = 10_000;

		static Entry read(YamlNode node) {
			node.checkKeys("listen", "admin", "rating", "sessionKey", "teams", "operators", "shards", "grantFor",
					"cutOffAfter");
			Address listen = node.convert("listen", Address::of);
			Address admin = node.convert("admin", Address::of);
			Optional<URI> rating = node.has("rating") ? Optional.ofNullable(node.convert("rating", Settings::url))
					: Optional.empty();
			byte[] sessionKey = node.convert("sessionKey", Settings::secret);
			List<AccessKey<TeamId>> teams = new ArrayList<>();
			for (YamlNode item : node.items("teams")) {
				item.checkKeys("team", "keySha256");
				teams.add(AccessKey.read(item, item.convert("team", TeamId::new)));
			}
			List<AccessKey<Operator>> operators = new ArrayList<>();
			for (YamlNode item : node.items("operators")) {
				item.checkKeys("operator", "keySha256", "teams");
				operators.add(AccessKey.read(item, operator(item)));
			}
			return new Entry(listen, admin, rating, sessionKey, teams, operators,
					(int) node.number("shards", 1, MAX_SHARDS, DEFAULT_SHARDS),
					node.millis("grantFor", DEFAULT_GRANT_MILLIS), node.millis("cutOffAfter", DEFAULT_CUT_OFF_MILLIS));
		}

		private static Operator operator(YamlNode item) {
			String name = item.convert("operator", Function.identity());
			Set<TeamId> teams = new TreeSet<>();
			for (YamlNode team : item.optionalItems("teams")) {
				TeamId id = team.convertSelf(TeamId::new);
				if (id != null) {
					teams.add(id);
				}
			}
			return new Operator(name, teams);
		}

	}

	/**
	 * An operator, and the teams that it may read of.
	 *
	 * @param name the operator's name
	 * @param teams the teams; none means all, and the right to change templates
	 */
	public record Operator(String name, Set<TeamId> teams) {

		/**
		 * Says whether the operator may read what concerns a team.
		 * @param team the team
		 * @return true if it may
		 */
		public boolean mayRead(TeamId team) {
			return this.teams.isEmpty() || this.teams.contains(team);
		}

		/**
		 * Says whether the operator may change templates.
		 * @return true if it may
		 */
		public boolean mayChange() {
			return this.teams.isEmpty();
		}

	}

	/**
	 * What only an agent needs.
	 *
	 * @param kind what the backend server is
	 * @param backend its address
	 * @param versions the versions that a plain service counts as; a model engine tells
	 * its own
	 * @param slots how many requests it runs at once
	 * @param maxQueued how many may wait for it
	 * @param probeMillis how often it is asked for its health and load, in milliseconds
	 * @param status where metrics and health are served, or empty for nowhere
	 */
	public record Agent(TemplateKind kind, URI backend, List<ModelVersion> versions, int slots, int maxQueued,
			long probeMillis, Optional<Address> status) {

		private static final double DEFAULT_SLOTS = 8;

		private static final double DEFAULT_QUEUED = 200;

		private static final double MAX_COUNT = 100_000;

		private static final long DEFAULT_PROBE_MILLIS = 500;

		static Agent read(YamlNode node) {
			node.checkKeys("kind", "backend", "versions", "slots", "maxQueued", "probe", "status");
			TemplateKind kind = node.choice("kind", TemplateKind.values(), null);
			List<ModelVersion> versions = new ArrayList<>();
			for (YamlNode item : node.optionalItems("versions")) {
				versions.add(item.convertSelf(ModelVersion::of));
			}
			if (kind == TemplateKind.SERVICE && versions.isEmpty()) {
				node.addProblem("versions", "must list at least one version for a plain service");
			}
			return new Agent(kind, node.convert("backend", Settings::url), versions,
					(int) node.number("slots", 1, MAX_COUNT, DEFAULT_SLOTS),
					(int) node.number("maxQueued", 0, MAX_COUNT, DEFAULT_QUEUED),
					node.millis("probe", DEFAULT_PROBE_MILLIS),
					node.has("status") ? Optional.ofNullable(node.convert("status", Address::of)) : Optional.empty());
		}

	}

}
