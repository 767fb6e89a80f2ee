/** HTTP server towards callers and HTTP client towards targets and the platform. */
package io.endiveshed.net.http;
