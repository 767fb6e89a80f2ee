/** HTTP server for callers, and HTTP client for targets and the platform. */
package io.endiveshed.net.http;
