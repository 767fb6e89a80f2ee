/** Interfaces to the platform: its object API and its list of instances. */
package io.endiveshed.ports.platform;
