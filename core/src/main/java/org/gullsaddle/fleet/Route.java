package org.gullsaddle.fleet;

import java.util.List;
import java.util.OptionalInt;

import org.gullsaddle.base.Check;

/**
 * A route: the requests that it matches, the services that serve them, and how they may
 * be handled. All times are in milliseconds.
 */
public final class Route {

	private final String name;

	private final String host;

	private final String prefix;

	private final RouteKind kind;

	private final List<ServiceShare> shares;

	private final List<String> models;

	private final long timeoutMillis;

	private final long targetMillis;

	private final long gapMillis;

	private final int maxAttempts;

	private final int rank;

	private final boolean open;

	private final boolean resumable;

	private final RegionLimit limit;

	private Route(Builder builder) {
		this.name = Check.notNull(builder.name, "name");
		this.host = Check.notNull(builder.host, "host");
		this.prefix = Check.notNull(builder.prefix, "prefix");
		this.kind = Check.notNull(builder.kind, "kind");
		this.shares = List.copyOf(builder.shares);
		this.models = List.copyOf(builder.models);
		this.timeoutMillis = builder.timeoutMillis;
		this.targetMillis = builder.targetMillis;
		this.gapMillis = builder.gapMillis;
		this.maxAttempts = builder.maxAttempts;
		this.rank = builder.rank;
		this.open = builder.open;
		this.resumable = builder.resumable;
		this.limit = builder.limit;
	}

	/**
	 * Starts a route.
	 * @param name its name
	 * @return a builder
	 */
	public static Builder named(String name) {
		return new Builder(name);
	}

	/**
	 * Returns the route's name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the host that it matches.
	 * @return the host, in lower case
	 */
	public String host() {
		return this.host;
	}

	/**
	 * Returns the path prefix that it matches.
	 * @return the prefix, with a slash at both ends
	 */
	public String prefix() {
		return this.prefix;
	}

	/**
	 * Returns whether its requests may be retried.
	 * @return the kind
	 */
	public RouteKind kind() {
		return this.kind;
	}

	/**
	 * Returns the services that share its traffic.
	 * @return one or more shares
	 */
	public List<ServiceShare> shares() {
		return this.shares;
	}

	/**
	 * Returns the models that the router chooses from.
	 * @return their names, the smallest first; empty if callers name the model
	 */
	public List<String> models() {
		return this.models;
	}

	/**
	 * Returns the deadline of its requests.
	 * @return the time in milliseconds
	 */
	public long timeoutMillis() {
		return this.timeoutMillis;
	}

	/**
	 * Returns the latency objective, to the complete answer or a stream's first event.
	 * @return the time in milliseconds
	 */
	public long targetMillis() {
		return this.targetMillis;
	}

	/**
	 * Returns the longest pause between two events of a stream that is still on time.
	 * @return the time in milliseconds, 0 if the route has none
	 */
	public long gapMillis() {
		return this.gapMillis;
	}

	/**
	 * Returns how many replicas one request may be attempted on.
	 * @return the number, 1 or more
	 */
	public int maxAttempts() {
		return this.maxAttempts;
	}

	/**
	 * Returns the rank of a team's requests.
	 * @param teamRank the team's own rank, which takes precedence
	 * @return the rank, 0 is the highest
	 */
	public int rankFor(OptionalInt teamRank) {
		return teamRank.orElse(this.rank);
	}

	/**
	 * Returns whether requests need no key.
	 * @return true if anyone may call it
	 */
	public boolean isOpen() {
		return this.open;
	}

	/**
	 * Returns whether another replica can resume a stream from its last event.
	 * @return true if it can
	 */
	public boolean isResumable() {
		return this.resumable;
	}

	/**
	 * Returns the regions in which its requests may be served.
	 * @return the limit
	 */
	public RegionLimit limit() {
		return this.limit;
	}

	/**
	 * Returns whether a request may be retried after an attempt that failed or was lost.
	 * @return true if it may
	 */
	public boolean isRepeatable() {
		return this.kind == RouteKind.IDEMPOTENT || this.resumable;
	}

	/**
	 * Builds {@link Route}s.
	 */
	public static final class Builder {

		private final String name;

		private String host;

		private String prefix;

		private RouteKind kind;

		private List<ServiceShare> shares = List.of();

		private List<String> models = List.of();

		private long timeoutMillis;

		private long targetMillis;

		private long gapMillis;

		private int maxAttempts = 1;

		private int rank;

		private boolean open;

		private boolean resumable;

		private RegionLimit limit = RegionLimit.ANYWHERE;

		private Builder(String name) {
			this.name = name;
		}

		/**
		 * Sets which requests it matches.
		 * @param newHost the host
		 * @param newPrefix the prefix of their paths
		 * @return this builder
		 */
		public Builder at(String newHost, String newPrefix) {
			this.host = newHost;
			this.prefix = newPrefix;
			return this;
		}

		/**
		 * Sets whether requests may be retried.
		 * @param newKind the kind
		 * @param newResumable whether another replica can resume a stream
		 * @return this builder
		 */
		public Builder kind(RouteKind newKind, boolean newResumable) {
			this.kind = newKind;
			this.resumable = newResumable;
			return this;
		}

		/**
		 * Sets the services that serve its requests.
		 * @param newShares the services and their weights
		 * @return this builder
		 */
		public Builder to(List<ServiceShare> newShares) {
			this.shares = newShares;
			return this;
		}

		/**
		 * Sets the models to choose from.
		 * @param newModels their names, the smallest first
		 * @return this builder
		 */
		public Builder models(List<String> newModels) {
			this.models = newModels;
			return this;
		}

		/**
		 * Sets the time limits.
		 * @param timeout the deadline, in milliseconds
		 * @param target the latency objective, in milliseconds
		 * @param gap the longest pause between a stream's events, in milliseconds
		 * @return this builder
		 */
		public Builder within(long timeout, long target, long gap) {
			this.timeoutMillis = timeout;
			this.targetMillis = target;
			this.gapMillis = gap;
			return this;
		}

		/**
		 * Sets how many replicas one request may be attempted on.
		 * @param attempts the number
		 * @return this builder
		 */
		public Builder maxAttempts(int attempts) {
			this.maxAttempts = attempts;
			return this;
		}

		/**
		 * Sets who may call it, and how its requests rank.
		 * @param newOpen whether requests need no key
		 * @param newRank the rank, 0 is the highest
		 * @return this builder
		 */
		public Builder callers(boolean newOpen, int newRank) {
			this.open = newOpen;
			this.rank = newRank;
			return this;
		}

		/**
		 * Sets the regions in which requests may be served.
		 * @param newLimit the regions
		 * @return this builder
		 */
		public Builder in(RegionLimit newLimit) {
			this.limit = newLimit;
			return this;
		}

		/**
		 * Builds the route.
		 * @return the route
		 */
		public Route build() {
			return new Route(this);
		}

	}

}
