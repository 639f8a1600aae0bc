// Package cowslipadmission decides which requests an instance admits while targets are
// overloaded. A Pool judges the load that targets report, the requests that they shed and the
// answers that are late, and bounds the rate of admitted requests. It opens no socket, starts
// no goroutine and reads no clock.
package cowslipadmission
