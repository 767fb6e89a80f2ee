/** Virtual-time harness that runs the routing, admission and queueing code against a fake engine. */
package io.endiveshed.bench.policy;
